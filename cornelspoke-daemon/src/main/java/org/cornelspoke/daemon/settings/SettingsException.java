package org.cornelspoke.daemon.settings;

/**
 * Thrown when a settings file is invalid. The message is a single line: the path of the field and
 * the reason.
 */
public final class SettingsException extends Exception {

  private static final long serialVersionUID = 1L;

  private final String path;
  private final String reason;

  /**
   * Creates the exception.
   *
   * @param path path of the field, for example {@code peers[0].vmId}
   * @param reason why the value is invalid
   */
  public SettingsException(String path, String reason) {
    super((path + ": " + reason).replaceAll("\\s+", " "));
    this.path = path;
    this.reason = reason;
  }

  /** Returns the path of the field, or the name of the file if it cannot be read. */
  public String path() {
    return path;
  }

  /** Returns why the value is invalid. */
  public String reason() {
    return reason;
  }
}
