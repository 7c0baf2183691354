package org.waxwingcourse.batch.cache;

import io.vavr.control.Option;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.UUID;
import java.util.stream.Stream;
import java.util.zip.CRC32;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;

/**
 * A cache in a folder, a file for each key, bounded in bytes; the oldest files go first. A file
 * that fails its checksum counts as absent. When the disk fails the cache is off until the next
 * start.
 */
public final class DiskCache implements ChunkCache {
  private static final EventLog LOG = EventLog.of(DiskCache.class);

  private final Path folder;
  private final long maxBytes;
  private long bytes;
  private boolean failed;

  private DiskCache(Path folder, long maxBytes) {
    this.folder = folder;
    this.maxBytes = maxBytes;
  }

  /** Returns the cache in a folder, which is made if it is absent. */
  public static DiskCache of(Path folder, long maxBytes) {
    DiskCache cache = new DiskCache(folder, maxBytes);
    cache.open();
    return cache;
  }

  private synchronized void open() {
    try {
      Files.createDirectories(folder);
      for (Path file : files()) {
        bytes += Files.size(file);
      }
    } catch (IOException e) {
      fail(e);
    }
  }

  @Override
  public synchronized Option<byte[]> get(String key) {
    if (failed) {
      return Option.none();
    }
    try {
      return content(key, ByteBuffer.wrap(Files.readAllBytes(file(key))));
    } catch (NoSuchFileException e) {
      return Option.none();
    } catch (IOException e) {
      fail(e);
      return Option.none();
    }
  }

  @Override
  public synchronized void put(String key, byte[] value) {
    if (failed) {
      return;
    }
    try {
      ByteBuffer file = ByteBuffer.allocate(Long.BYTES + value.length);
      file.putLong(checksum(key, value)).put(value);
      Path fresh = folder.resolve(UUID.randomUUID() + ".new");
      Files.write(fresh, file.array());
      Files.move(fresh, file(key), StandardCopyOption.ATOMIC_MOVE);
      bytes += file.capacity();
      if (bytes > maxBytes) {
        evict();
      }
    } catch (IOException e) {
      fail(e);
    }
  }

  private void evict() throws IOException {
    List<Path> oldest = new ArrayList<>(files());
    oldest.sort(Comparator.comparing(p -> p.toFile().lastModified()));
    bytes = 0;
    for (Path file : oldest) {
      bytes += Files.size(file);
    }
    for (int i = 0; i < oldest.size() && bytes > maxBytes / 2; i++) {
      bytes -= Files.size(oldest.get(i));
      Files.delete(oldest.get(i));
    }
  }

  private List<Path> files() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.filter(Files::isRegularFile).toList();
    }
  }

  private Option<byte[]> content(String key, ByteBuffer file) {
    if (file.remaining() < Long.BYTES) {
      return Option.none();
    }
    long sum = file.getLong();
    byte[] value = new byte[file.remaining()];
    file.get(value);
    return Option.when(sum == checksum(key, value), value);
  }

  private static long checksum(String key, byte[] value) {
    CRC32 sum = new CRC32();
    sum.update(key.getBytes(StandardCharsets.UTF_8));
    sum.update(value);
    return sum.getValue();
  }

  private Path file(String key) {
    return folder.resolve(key.replace('/', '!'));
  }

  private void fail(IOException e) {
    failed = true;
    LOG.write(Event.BATCH_CACHE_OFF, folder, e.toString());
  }
}
