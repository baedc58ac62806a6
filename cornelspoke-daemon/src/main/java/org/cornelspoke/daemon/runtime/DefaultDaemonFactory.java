package org.cornelspoke.daemon.runtime;

import java.util.function.Supplier;
import org.cornelspoke.daemon.settings.ControlSettings;
import org.cornelspoke.daemon.settings.DaemonSettings;
import org.cornelspoke.daemon.settings.TrafficSettings;
import org.cornelspoke.util.Assert;

/** Creates the standard traffic and control daemons, customized by a profile. */
public final class DefaultDaemonFactory implements DaemonFactory {

  private final Supplier<TrafficProfile> trafficProfiles;
  private final Supplier<ControlProfile> controlProfiles;

  /** Creates a factory of daemons with default profiles. */
  public DefaultDaemonFactory() {
    this(TrafficProfile::new, ControlProfile::new);
  }

  /** Creates a factory of daemons with the given profiles, one per daemon. */
  public DefaultDaemonFactory(Supplier<TrafficProfile> traffic, Supplier<ControlProfile> control) {
    this.trafficProfiles = Assert.notNull(traffic, "traffic");
    this.controlProfiles = Assert.notNull(control, "control");
  }

  @Override
  public Daemon create(DaemonSettings settings) {
    if (settings instanceof ControlSettings controlSettings) {
      return new ControlRuntime(controlSettings, controlProfiles.get());
    }
    return new TrafficRuntime((TrafficSettings) settings, trafficProfiles.get());
  }
}
