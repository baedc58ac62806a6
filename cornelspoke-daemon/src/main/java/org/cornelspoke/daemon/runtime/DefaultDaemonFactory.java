package org.cornelspoke.daemon.runtime;

import org.cornelspoke.daemon.settings.ControlSettings;
import org.cornelspoke.daemon.settings.DaemonSettings;
import org.cornelspoke.daemon.settings.TrafficSettings;

/** Builds the services that the product ships. */
public final class DefaultDaemonFactory implements DaemonFactory {

  @Override
  public Daemon create(DaemonSettings settings) {
    if (settings instanceof ControlSettings control) {
      return new ControlRuntime(control);
    }
    return new TrafficRuntime((TrafficSettings) settings);
  }
}
