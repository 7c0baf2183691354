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
 * A cache in a folder, with one file for each key and a size limit in bytes. The oldest files are
 * evicted first. A file with a wrong checksum is treated as absent. After an I/O error the cache is
 * disabled until the process restarts.
 */
public final class DiskCache implements ChunkCache {
  private static final EventLog LOG = EventLog.of(DiskCache.class);

  private final Path folder;
  private final long maxBytes;
  private long totalBytes;
  private boolean disabled;

  private DiskCache(Path folder, long maxBytes) {
    this.folder = folder;
    this.maxBytes = maxBytes;
  }

  /** Returns the cache in a folder. The folder is created if it does not exist. */
  public static DiskCache of(Path folder, long maxBytes) {
    DiskCache cache = new DiskCache(folder, maxBytes);
    cache.initialise();
    return cache;
  }

  private synchronized void initialise() {
    try {
      Files.createDirectories(folder);
      for (Path file : listFiles()) {
        totalBytes += Files.size(file);
      }
    } catch (IOException e) {
      disable(e);
    }
  }

  @Override
  public synchronized Option<byte[]> get(String key) {
    if (disabled) {
      return Option.none();
    }
    try {
      return decode(key, ByteBuffer.wrap(Files.readAllBytes(pathOf(key))));
    } catch (NoSuchFileException e) {
      return Option.none();
    } catch (IOException e) {
      disable(e);
      return Option.none();
    }
  }

  @Override
  public synchronized void put(String key, byte[] value) {
    if (disabled) {
      return;
    }
    try {
      ByteBuffer file = ByteBuffer.allocate(Long.BYTES + value.length);
      file.putLong(checksum(key, value)).put(value);
      Path temporary = folder.resolve(UUID.randomUUID() + ".new");
      Files.write(temporary, file.array());
      Files.move(temporary, pathOf(key), StandardCopyOption.ATOMIC_MOVE);
      totalBytes += file.capacity();
      if (totalBytes > maxBytes) {
        evict();
      }
    } catch (IOException e) {
      disable(e);
    }
  }

  private void evict() throws IOException {
    List<Path> oldestFirst = new ArrayList<>(listFiles());
    oldestFirst.sort(Comparator.comparing(p -> p.toFile().lastModified()));
    totalBytes = 0;
    for (Path file : oldestFirst) {
      totalBytes += Files.size(file);
    }
    for (int i = 0; i < oldestFirst.size() && totalBytes > maxBytes / 2; i++) {
      totalBytes -= Files.size(oldestFirst.get(i));
      Files.delete(oldestFirst.get(i));
    }
  }

  private List<Path> listFiles() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.filter(Files::isRegularFile).toList();
    }
  }

  private Option<byte[]> decode(String key, ByteBuffer file) {
    if (file.remaining() < Long.BYTES) {
      return Option.none();
    }
    long storedChecksum = file.getLong();
    byte[] value = new byte[file.remaining()];
    file.get(value);
    return Option.when(storedChecksum == checksum(key, value), value);
  }

  private static long checksum(String key, byte[] value) {
    CRC32 crc = new CRC32();
    crc.update(key.getBytes(StandardCharsets.UTF_8));
    crc.update(value);
    return crc.getValue();
  }

  private Path pathOf(String key) {
    return folder.resolve(key.replace('/', '!'));
  }

  private void disable(IOException e) {
    disabled = true;
    LOG.write(Event.BATCH_CACHE_OFF, folder, e.toString());
  }
}
