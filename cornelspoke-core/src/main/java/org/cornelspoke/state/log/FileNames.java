package org.cornelspoke.state.log;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Names of the files in a data folder. Numbers are padded to 16 hexadecimal digits, so that the
 * order of names is the order of numbers.
 */
final class FileNames {

  static final String META = "meta";
  static final String TEMPORARY_SUFFIX = ".tmp";
  static final String PROBE = "probe.tmp";

  /** Stands for all segments in messages. */
  static final String ALL_SEGMENTS = "log";

  private static final String SEGMENT_PREFIX = "log-";
  private static final String SNAPSHOT_PREFIX = "snapshot-";

  private FileNames() {}

  static String segment(long number) {
    return SEGMENT_PREFIX + String.format("%016x", number);
  }

  static String snapshot(long index) {
    return SNAPSHOT_PREFIX + String.format("%016x", index);
  }

  static boolean isSnapshot(String name) {
    return name.startsWith(SNAPSHOT_PREFIX) && !name.endsWith(TEMPORARY_SUFFIX);
  }

  static long snapshotIndex(String name) {
    return Long.parseLong(name.substring(SNAPSHOT_PREFIX.length()), 16);
  }

  static List<Long> segmentNumbers(List<String> names) {
    List<Long> numbers = new ArrayList<>();
    for (String name : names) {
      if (name.startsWith(SEGMENT_PREFIX) && !name.endsWith(TEMPORARY_SUFFIX)) {
        numbers.add(Long.parseLong(name.substring(SEGMENT_PREFIX.length()), 16));
      }
    }
    return numbers;
  }

  /** Deletes incomplete files of the log; the folder may contain files of other parts. */
  static void deleteTemporary(Disk disk) throws IOException {
    for (String name : disk.list()) {
      if (name.endsWith(TEMPORARY_SUFFIX)
          && (name.startsWith(SEGMENT_PREFIX)
              || name.startsWith(SNAPSHOT_PREFIX)
              || name.equals(META + TEMPORARY_SUFFIX)
              || name.equals(PROBE))) {
        disk.delete(name);
      }
    }
  }
}
