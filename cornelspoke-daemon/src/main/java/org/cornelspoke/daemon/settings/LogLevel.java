package org.cornelspoke.daemon.settings;

/** Lowest level that is logged. The names in lower case are the values of {@code logLevel}. */
public enum LogLevel {
  ERROR,
  WARN,
  INFO,
  DEBUG,
  TRACE
}
