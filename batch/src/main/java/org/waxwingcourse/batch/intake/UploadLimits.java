package org.waxwingcourse.batch.intake;

/**
 * Limits of an input file.
 *
 * @param bytes largest file
 * @param items most lines
 * @param chunkItems most lines in a chunk
 * @param chunkBytes most bytes in a chunk before compression, and in a line
 */
public record UploadLimits(long bytes, int items, int chunkItems, int chunkBytes) {
  /**
   * The limits in force; a chunk fits into a value of the store even if it cannot be compressed.
   */
  public static final UploadLimits STANDARD =
      new UploadLimits(512L * 1024 * 1024, 300_000, 256, 900_000);
}
