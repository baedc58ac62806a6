package org.cornelspoke.daemon.settings;

/** Minimum level that is logged. The lower-case names are the values of {@code logLevel}. */
public enum LogLevel {
  ERROR,
  WARN,
  INFO,
  DEBUG,
  TRACE
}
