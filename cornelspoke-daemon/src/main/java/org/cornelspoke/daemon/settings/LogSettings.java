package org.cornelspoke.daemon.settings;

/** Format and minimum level of the log of a process. */
public record LogSettings(LogFormat format, LogLevel level) {

  /** Text lines at level INFO and above. */
  public static final LogSettings DEFAULT = new LogSettings(LogFormat.TEXT, LogLevel.INFO);
}
