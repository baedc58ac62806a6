package org.cornelspoke.daemon;

import org.cornelspoke.daemon.settings.LogSettings;

/** Configures the format and the level of the log. Must run before the first logger is created. */
public final class Logging {

  private Logging() {}

  /** Sets the system properties that Logback reads when the first logger is created. */
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
