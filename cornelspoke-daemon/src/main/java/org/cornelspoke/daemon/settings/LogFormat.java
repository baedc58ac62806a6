package org.cornelspoke.daemon.settings;

/** Format of log lines. The lower-case names are the values of {@code logFormat}. */
public enum LogFormat {
  /** One line of text per event. */
  TEXT,
  /** One JSON object on a single line per event. */
  JSON
}
