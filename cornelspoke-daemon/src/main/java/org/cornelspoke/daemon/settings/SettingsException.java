package org.cornelspoke.daemon.settings;

/** A settings file that breaks a rule. The message is one line: the field's path and the rule. */
public final class SettingsException extends Exception {

  private static final long serialVersionUID = 1L;

  private final String path;
  private final String rule;

  /**
   * Creates the exception.
   *
   * @param path path of the field, for example {@code peers[0].vmId}
   * @param rule the rule that is broken
   */
  public SettingsException(String path, String rule) {
    super((path + ": " + rule).replaceAll("\\s+", " "));
    this.path = path;
    this.rule = rule;
  }

  /** Returns the path of the field, or the name of the file if the file can't be read. */
  public String path() {
    return path;
  }

  /** Returns the rule that is broken. */
  public String rule() {
    return rule;
  }
}
