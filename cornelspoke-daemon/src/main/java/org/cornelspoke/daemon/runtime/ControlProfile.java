package org.cornelspoke.daemon.runtime;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.cornelspoke.coordination.quota.ShareTimes;
import org.cornelspoke.daemon.consensus.ConsensusSettings;
import org.cornelspoke.daemon.settings.PeerSettings;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.transport.http.HttpHandler;
import org.cornelspoke.util.Assert;

/**
 * How a control daemon differs from the product's defaults. Not safe for use by several threads.
 */
public final class ControlProfile {

  Optional<Endpoint> operatorAddress = Optional.empty();
  Function<RoutingAdministration, HttpHandler> operatorApi;
  Supplier<List<PeerSettings>> peerSource = List::of;
  ShareTimes shareTimes = ShareTimes.DEFAULT;
  double sharedBurstPart = 1;
  ConsensusSettings consensus = ConsensusSettings.DEFAULT;

  /**
   * Adds an address at which operators replace the routing.
   *
   * @param api creates its handler
   */
  public ControlProfile withOperatorApi(
      Endpoint address, Function<RoutingAdministration, HttpHandler> api) {
    this.operatorAddress = Optional.of(address);
    this.operatorApi = Assert.notNull(api, "api");
    return this;
  }

  /** Sets where the peers that the settings name at this moment come from. */
  public ControlProfile withPeerSource(Supplier<List<PeerSettings>> source) {
    this.peerSource = Assert.notNull(source, "source");
    return this;
  }

  /** Replaces the intervals of the rate shares; they must be those of the traffic daemons. */
  public ControlProfile withShareTimes(ShareTimes times) {
    this.shareTimes = Assert.notNull(times, "times");
    return this;
  }

  /** Sets the part of an account's burst that shares may use; the rest is left to rate floors. */
  public ControlProfile withSharedBurstPart(double part) {
    this.sharedBurstPart = part;
    return this;
  }

  /** Replaces the settings of the control group. */
  public ControlProfile withConsensus(ConsensusSettings settings) {
    this.consensus = Assert.notNull(settings, "settings");
    return this;
  }
}
