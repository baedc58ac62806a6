package org.cornelspoke.daemon.settings;

/** Form of the log lines. The names in lower case are the values of {@code logFormat}. */
public enum LogFormat {
  /** One line of text for each event. */
  TEXT,
  /** One JSON object on one line for each event. */
  JSON
}
