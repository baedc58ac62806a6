package org.cornelspoke.daemon.runtime;

import java.util.function.Supplier;
import org.cornelspoke.daemon.settings.ControlSettings;
import org.cornelspoke.daemon.settings.DaemonSettings;
import org.cornelspoke.daemon.settings.TrafficSettings;
import org.cornelspoke.util.Assert;

/** Builds the services that the product ships. */
public final class DefaultDaemonFactory implements DaemonFactory {

  private final Supplier<TrafficProfile> traffic;
  private final Supplier<ControlProfile> control;

  /** Creates a factory of daemons with the product's own interface. */
  public DefaultDaemonFactory() {
    this(TrafficProfile::new, ControlProfile::new);
  }

  /** Creates a factory of daemons with another interface. */
  public DefaultDaemonFactory(Supplier<TrafficProfile> traffic, Supplier<ControlProfile> control) {
    this.traffic = Assert.notNull(traffic, "traffic");
    this.control = Assert.notNull(control, "control");
  }

  @Override
  public Daemon create(DaemonSettings settings) {
    if (settings instanceof ControlSettings controlSettings) {
      return new ControlRuntime(controlSettings, control.get());
    }
    return new TrafficRuntime((TrafficSettings) settings, traffic.get());
  }
}
