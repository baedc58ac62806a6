package org.cornelspoke.daemon;

import org.cornelspoke.daemon.settings.LogSettings;

/** Chooses form and level of the log lines. Must run before the first logger is created. */
public final class Logging {

  private Logging() {}

  /** Sets form and level. */
  public static void configure(LogSettings settings) {
    System.setProperty(
        "logback.configurationFile",
        switch (settings.format()) {
          case TEXT -> "org/cornelspoke/daemon/logback-text.xml";
          case JSON -> "org/cornelspoke/daemon/logback-json.xml";
        });
    System.setProperty("cornelspoke.logLevel", settings.level().name());
  }
}
