package org.cornelspoke.daemon.runtime;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.cornelspoke.coordination.quota.ShareTimes;
import org.cornelspoke.daemon.consensus.ConsensusSettings;
import org.cornelspoke.daemon.consensus.DiskOpener;
import org.cornelspoke.daemon.settings.PeerSettings;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.state.log.FileDisk;
import org.cornelspoke.transport.http.HttpHandler;
import org.cornelspoke.util.Assert;

/** Deployment-specific overrides of a control daemon's defaults. Not thread-safe. */
public final class ControlProfile {

  Optional<Endpoint> operatorAddress = Optional.empty();
  Function<RoutingAdministration, HttpHandler> operatorApi;
  Supplier<List<PeerSettings>> peerSource = List::of;
  ShareTimes shareTimes = ShareTimes.DEFAULT;
  double sharedBurstFraction = 1;
  ConsensusSettings consensus = ConsensusSettings.DEFAULT;
  DiskOpener diskOpener = FileDisk::new;

  /**
   * Adds an endpoint where operators read and replace the routing configuration.
   *
   * @param api creates the endpoint's handler
   */
  public ControlProfile withOperatorApi(
      Endpoint address, Function<RoutingAdministration, HttpHandler> api) {
    this.operatorAddress = Optional.of(address);
    this.operatorApi = Assert.notNull(api, "api");
    return this;
  }

  /** Sets the supplier of the peers that are currently configured; it is polled. */
  public ControlProfile withPeerSource(Supplier<List<PeerSettings>> source) {
    this.peerSource = Assert.notNull(source, "source");
    return this;
  }

  /** Replaces the timing of the rate shares, which must match that of the traffic daemons. */
  public ControlProfile withShareTimes(ShareTimes times) {
    this.shareTimes = Assert.notNull(times, "times");
    return this;
  }

  /**
   * Sets the fraction of an account's burst that is distributed as shares; the rest is reserved for
   * the rate floors of the traffic daemons.
   */
  public ControlProfile withSharedBurstFraction(double fraction) {
    this.sharedBurstFraction = fraction;
    return this;
  }

  /** Replaces the consensus settings of the control group. */
  public ControlProfile withConsensus(ConsensusSettings settings) {
    this.consensus = Assert.notNull(settings, "settings");
    return this;
  }

  /** Replaces the access to the folder of the replicated log, {@link FileDisk} by default. */
  public ControlProfile withDiskOpener(DiskOpener opener) {
    this.diskOpener = Assert.notNull(opener, "opener");
    return this;
  }
}
