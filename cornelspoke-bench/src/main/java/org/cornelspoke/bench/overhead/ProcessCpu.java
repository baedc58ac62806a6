package org.cornelspoke.bench.overhead;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** CPU time of a process from {@code /proc/PID/stat}. */
final class ProcessCpu {

  // USER_HZ, the unit of the file, is 100 on every Linux system that the product runs on.
  private static final long MICROS_PER_TICK = 10_000;
  private static final int USER_TIME_FIELD = 11;
  private static final int SYSTEM_TIME_FIELD = 12;

  private ProcessCpu() {}

  /**
   * Returns user and system time in microseconds.
   *
   * @throws IOException if the process does not exist
   */
  static long micros(long pid) throws IOException {
    return parse(Files.readString(Path.of("/proc/" + pid + "/stat")));
  }

  /** Parses the file. The name in parentheses may contain spaces and parentheses. */
  static long parse(String stat) {
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
    long ticks =
        Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD]);
    return ticks * MICROS_PER_TICK;
  }
}
