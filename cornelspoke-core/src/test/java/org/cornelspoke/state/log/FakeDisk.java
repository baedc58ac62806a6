package org.cornelspoke.state.log;

import java.io.IOException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.NoSuchFileException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * In-memory disk that simulates crashes. A crash keeps the synced bytes of each file, a random
 * prefix of the unsynced bytes, possibly with a damaged tail, and a random prefix of the unsynced
 * folder operations. What a failed sync was to make durable is lost even if a later sync of the
 * same file or folder succeeds, unless it is written or renamed anew.
 */
public final class FakeDisk implements Disk {

  private final Random random;
  private TreeMap<String, Content> files = new TreeMap<>();
  private TreeMap<String, Content> durableFiles = new TreeMap<>();
  private final List<TreeMap<String, Content>> unsyncedFolderStates = new ArrayList<>();
  private int operationsUntilCrash = Integer.MAX_VALUE;
  private int syncsUntilFailure = Integer.MAX_VALUE;
  private final Set<Integer> failingOperations = new HashSet<>();
  private final Map<String, Content> lostRenames = new HashMap<>();
  private long capacityBytes = Long.MAX_VALUE;
  private int generation;
  private int operations;
  private int reads;

  /** Thrown by the operation at which the simulated machine crashes. */
  public static final class CrashException extends IOException {
    private static final long serialVersionUID = 1L;

    CrashException() {
      super("simulated crash");
    }
  }

  private static final class Content {
    byte[] bytes = new byte[0];
    int syncedLength;
    int syncableLength = Integer.MAX_VALUE;
  }

  public FakeDisk(long seed) {
    this.random = new Random(seed);
  }

  /** Crashes after the given number of further operations; the next one may take partial effect. */
  public void crashAfter(int operationCount) {
    operationsUntilCrash = operationCount;
  }

  /** Fails a sync after the given number of further successful syncs. */
  public void failSyncAfter(int syncCount) {
    syncsUntilFailure = syncCount;
  }

  /**
   * Fails one operation after the given number of further operations: an append writes a random
   * part, a sync makes nothing durable, and every other operation has no effect.
   */
  public void failOperationAfter(int operationCount) {
    failingOperations.add(operations + operationCount + 1);
  }

  /** Limits the total size of the files in bytes; the append that exceeds it writes a part. */
  public void limitCapacity(long bytes) {
    capacityBytes = bytes;
  }

  /** Returns the total size of the files in bytes. */
  public long usedBytes() {
    return files.values().stream().mapToLong(content -> content.bytes.length).sum();
  }

  /** Cancels scheduled crashes and failures, and the limit of the capacity. */
  public void clearFaults() {
    failingOperations.clear();
    capacityBytes = Long.MAX_VALUE;
    operationsUntilCrash = Integer.MAX_VALUE;
    syncsUntilFailure = Integer.MAX_VALUE;
  }

  /** Returns the number of append, sync and folder operations so far. */
  public int operations() {
    return operations;
  }

  /** Returns the number of reads so far. */
  public int reads() {
    return reads;
  }

  /** Simulates a crash: loses unsynced data and invalidates open files. */
  public void crash() {
    generation++;
    clearFaults();
    int keptOperations = random.nextInt(unsyncedFolderStates.size() + 1);
    files = keptOperations == 0 ? durableFiles : unsyncedFolderStates.get(keptOperations - 1);
    unsyncedFolderStates.clear();
    Map<Content, Content> copies = new HashMap<>();
    TreeMap<String, Content> survivingFiles = new TreeMap<>();
    files.forEach(
        (name, content) ->
            survivingFiles.put(name, copies.computeIfAbsent(content, this::contentAfterCrash)));
    files = survivingFiles;
    durableFiles = new TreeMap<>(files);
    lostRenames.clear();
  }

  /** Simulates a crash followed by replacement with an empty disk. */
  public void wipe() {
    crash();
    files.clear();
    durableFiles.clear();
  }

  /** Replaces the durable content of a file, to simulate damage. */
  public void overwrite(String name, byte[] bytes) {
    Content content = new Content();
    content.bytes = bytes.clone();
    content.syncedLength = bytes.length;
    files.put(name, content);
    durableFiles = new TreeMap<>(files);
  }

  /** Returns the content of all files by name. */
  public Map<String, List<Byte>> contents() {
    Map<String, List<Byte>> result = new TreeMap<>();
    files.forEach(
        (name, content) -> {
          List<Byte> bytes = new ArrayList<>();
          for (byte b : content.bytes) {
            bytes.add(b);
          }
          result.put(name, bytes);
        });
    return result;
  }

  @Override
  public List<String> list() {
    return List.copyOf(files.keySet());
  }

  @Override
  public byte[] read(String name) throws IOException {
    reads++;
    return find(name).bytes.clone();
  }

  @Override
  public File create(String name) throws IOException {
    countOperation();
    if (files.containsKey(name)) {
      throw new FileAlreadyExistsException(name);
    }
    Content content = new Content();
    files.put(name, content);
    recordFolderChange();
    return new FakeFile(content, generation);
  }

  @Override
  public void rename(String from, String to) throws IOException {
    countOperation();
    Content content = find(from);
    files.remove(from);
    files.put(to, content);
    recordFolderChange();
  }

  @Override
  public void delete(String name) throws IOException {
    countOperation();
    find(name);
    files.remove(name);
    recordFolderChange();
  }

  @Override
  public void syncFolder() throws IOException {
    try {
      countOperation();
      failScheduledSync();
    } catch (IOException e) {
      recordLostRenames();
      throw e;
    }
    TreeMap<String, Content> synced = new TreeMap<>(files);
    lostRenames.entrySet().removeIf(lost -> files.get(lost.getKey()) != lost.getValue());
    for (String name : lostRenames.keySet()) {
      Content former = durableFiles.get(name);
      if (former == null) {
        synced.remove(name);
      } else {
        synced.put(name, former);
      }
    }
    durableFiles = synced;
    unsyncedFolderStates.clear();
  }

  @Override
  public void close() {
    generation++;
  }

  private Content contentAfterCrash(Content content) {
    int unsyncedLength = content.bytes.length - content.syncedLength;
    int keptLength = unsyncedLength == 0 ? 0 : random.nextInt(unsyncedLength + 1);
    Content result = new Content();
    result.bytes = Arrays.copyOf(content.bytes, content.syncedLength + keptLength);
    if (keptLength > 0 && random.nextBoolean()) {
      int from = content.syncedLength + random.nextInt(keptLength);
      Arrays.fill(result.bytes, from, result.bytes.length, (byte) 0);
    }
    result.syncedLength = result.bytes.length;
    return result;
  }

  private void recordFolderChange() {
    unsyncedFolderStates.add(new TreeMap<>(files));
  }

  private void recordLostRenames() {
    files.forEach(
        (name, content) -> {
          if (durableFiles.get(name) != content) {
            lostRenames.put(name, content);
          }
        });
  }

  private Content find(String name) throws IOException {
    Content content = files.get(name);
    if (content == null) {
      throw new NoSuchFileException(name);
    }
    return content;
  }

  private void countOperation() throws IOException {
    operations++;
    if (operationsUntilCrash-- <= 0) {
      throw new CrashException();
    }
    if (failingOperations.contains(operations)) {
      throw new IOException("simulated failure of operation " + operations);
    }
  }

  private void failScheduledSync() throws IOException {
    if (syncsUntilFailure-- <= 0) {
      throw new IOException("simulated sync failure");
    }
  }

  private final class FakeFile implements File {
    private final Content content;
    private final int openGeneration;

    FakeFile(Content content, int openGeneration) {
      this.content = content;
      this.openGeneration = openGeneration;
    }

    @Override
    public void append(byte[] bytes) throws IOException {
      checkOpen();
      int oldLength = content.bytes.length;
      boolean isFull = usedBytes() + bytes.length > capacityBytes;
      boolean fails =
          operationsUntilCrash <= 0 || isFull || failingOperations.contains(operations + 1);
      int written = fails ? random.nextInt(bytes.length + 1) : bytes.length;
      if (isFull) {
        written = (int) Math.max(0, capacityBytes - usedBytes());
      }
      content.bytes = Arrays.copyOf(content.bytes, oldLength + written);
      System.arraycopy(bytes, 0, content.bytes, oldLength, written);
      countOperation();
      if (isFull) {
        throw new IOException("simulated full disk");
      }
    }

    @Override
    public void sync() throws IOException {
      checkOpen();
      try {
        countOperation();
        failScheduledSync();
      } catch (IOException e) {
        content.syncableLength = Math.min(content.syncableLength, content.syncedLength);
        throw e;
      }
      content.syncedLength = Math.min(content.bytes.length, content.syncableLength);
    }

    @Override
    public void close() {}

    private void checkOpen() throws IOException {
      if (openGeneration != generation) {
        throw new IOException("file was closed by a crash");
      }
    }
  }
}
