package org.waxwingcourse.batch.intake;

/**
 * The limits of an input file.
 *
 * @param bytes the maximum length of the file in bytes
 * @param items the maximum number of lines
 * @param chunkItems the maximum number of lines in a chunk
 * @param chunkBytes the maximum number of bytes in a chunk before compression, and in a line
 */
public record UploadLimits(long bytes, int items, int chunkItems, int chunkBytes) {
  /**
   * The limits used in production. A chunk fits into one value of the store even if it cannot be
   * compressed.
   */
  public static final UploadLimits STANDARD =
      new UploadLimits(512L * 1024 * 1024, 300_000, 256, 900_000);
}
