package org.cornelspoke.state.log;

import java.io.IOException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.NoSuchFileException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * A disk in memory that loses what was not synced. A crash keeps the synced bytes of each file, a
 * random part of the unsynced bytes, possibly with a damaged tail, and a random prefix of the
 * unsynced folder operations.
 */
public final class FakeDisk implements Disk {

  private final Random random;
  private TreeMap<String, Content> files = new TreeMap<>();
  private TreeMap<String, Content> durableFiles = new TreeMap<>();
  private final List<TreeMap<String, Content>> unsyncedFolders = new ArrayList<>();
  private int operationsUntilCrash = Integer.MAX_VALUE;
  private int syncsUntilFailure = Integer.MAX_VALUE;
  private int generation;
  private int operations;

  /** Thrown at the operation where the simulated machine stops. */
  public static final class CrashException extends IOException {
    private static final long serialVersionUID = 1L;

    CrashException() {
      super("simulated crash");
    }
  }

  private static final class Content {
    byte[] bytes = new byte[0];
    int syncedLength;
  }

  public FakeDisk(long seed) {
    this.random = new Random(seed);
  }

  /** Stops the machine at the given operation from now; its effect may be partial. */
  public void crashAfter(int operationCount) {
    operationsUntilCrash = operationCount;
  }

  /** Lets the given sync from now fail. */
  public void failSyncAfter(int syncCount) {
    syncsUntilFailure = syncCount;
  }

  /** Removes planned crashes and failures. */
  public void clearFaults() {
    operationsUntilCrash = Integer.MAX_VALUE;
    syncsUntilFailure = Integer.MAX_VALUE;
  }

  /** Returns the number of write, sync and folder operations so far. */
  public int operations() {
    return operations;
  }

  /** Loses unsynced data. Files that were open before cannot be used any more. */
  public void crash() {
    generation++;
    clearFaults();
    int kept = random.nextInt(unsyncedFolders.size() + 1);
    files = kept == 0 ? durableFiles : unsyncedFolders.get(kept - 1);
    unsyncedFolders.clear();
    Map<Content, Content> copies = new HashMap<>();
    TreeMap<String, Content> survivors = new TreeMap<>();
    files.forEach(
        (name, content) -> survivors.put(name, copies.computeIfAbsent(content, this::survivor)));
    files = survivors;
    durableFiles = new TreeMap<>(files);
  }

  /** Removes everything, as a replaced disk would. */
  public void wipe() {
    crash();
    files.clear();
    durableFiles.clear();
  }

  /** Replaces the content of a file, to model damage. */
  public void overwrite(String name, byte[] bytes) {
    Content content = new Content();
    content.bytes = bytes.clone();
    content.syncedLength = bytes.length;
    files.put(name, content);
    durableFiles = new TreeMap<>(files);
  }

  /** Returns all files with their content. */
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
    return find(name).bytes.clone();
  }

  @Override
  public File create(String name) throws IOException {
    operation();
    if (files.containsKey(name)) {
      throw new FileAlreadyExistsException(name);
    }
    Content content = new Content();
    files.put(name, content);
    folderChanged();
    return new FakeFile(content, generation);
  }

  @Override
  public void rename(String from, String to) throws IOException {
    operation();
    Content content = find(from);
    files.remove(from);
    files.put(to, content);
    folderChanged();
  }

  @Override
  public void delete(String name) throws IOException {
    operation();
    find(name);
    files.remove(name);
    folderChanged();
  }

  @Override
  public void syncFolder() throws IOException {
    operation();
    failIfDue();
    durableFiles = new TreeMap<>(files);
    unsyncedFolders.clear();
  }

  @Override
  public void close() {
    generation++;
  }

  private Content survivor(Content content) {
    int unsynced = content.bytes.length - content.syncedLength;
    int kept = unsynced == 0 ? 0 : random.nextInt(unsynced + 1);
    Content result = new Content();
    result.bytes = Arrays.copyOf(content.bytes, content.syncedLength + kept);
    if (kept > 0 && random.nextBoolean()) {
      int from = content.syncedLength + random.nextInt(kept);
      Arrays.fill(result.bytes, from, result.bytes.length, (byte) 0);
    }
    result.syncedLength = result.bytes.length;
    return result;
  }

  private void folderChanged() {
    unsyncedFolders.add(new TreeMap<>(files));
  }

  private Content find(String name) throws IOException {
    Content content = files.get(name);
    if (content == null) {
      throw new NoSuchFileException(name);
    }
    return content;
  }

  private void operation() throws IOException {
    operations++;
    if (operationsUntilCrash-- <= 0) {
      throw new CrashException();
    }
  }

  private void failIfDue() throws IOException {
    if (syncsUntilFailure-- <= 0) {
      throw new IOException("simulated sync failure");
    }
  }

  private final class FakeFile implements File {
    private final Content content;
    private final int openedIn;

    FakeFile(Content content, int openedIn) {
      this.content = content;
      this.openedIn = openedIn;
    }

    @Override
    public void append(byte[] bytes) throws IOException {
      checkOpen();
      int old = content.bytes.length;
      boolean crashes = operationsUntilCrash <= 0;
      int written = crashes ? random.nextInt(bytes.length + 1) : bytes.length;
      content.bytes = Arrays.copyOf(content.bytes, old + written);
      System.arraycopy(bytes, 0, content.bytes, old, written);
      operation();
    }

    @Override
    public void sync() throws IOException {
      checkOpen();
      operation();
      failIfDue();
      content.syncedLength = content.bytes.length;
    }

    @Override
    public void close() {}

    private void checkOpen() throws IOException {
      if (openedIn != generation) {
        throw new IOException("file was closed by a crash");
      }
    }
  }
}
