package org.waxwingcourse.batch.intake;

/**
 * The limits of an input file.
 *
 * @param maxBytes the maximum length of the file in bytes
 * @param maxItems the maximum number of lines
 * @param maxChunkItems the maximum number of lines in a chunk
 * @param maxChunkBytes the maximum number of bytes in a chunk before compression, and in a line
 */
public record UploadLimits(long maxBytes, int maxItems, int maxChunkItems, int maxChunkBytes) {
  /**
   * The limits used in production. A chunk fits into one value of the store even if it cannot be
   * compressed.
   */
  public static final UploadLimits STANDARD =
      new UploadLimits(512L * 1024 * 1024, 300_000, 256, 900_000);
}
