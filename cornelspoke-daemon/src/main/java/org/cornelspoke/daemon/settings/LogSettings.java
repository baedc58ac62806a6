package org.cornelspoke.daemon.settings;

/** How and from which level on a process logs. */
public record LogSettings(LogFormat format, LogLevel level) {

  /** Text lines from level INFO on. */
  public static final LogSettings DEFAULT = new LogSettings(LogFormat.TEXT, LogLevel.INFO);
}
