package org.cornelspoke.daemon.traffic;

import java.util.Optional;
import org.cornelspoke.coordination.routing.TargetSelector;
import org.cornelspoke.state.config.ContextSecret;
import org.cornelspoke.state.view.FleetView;

/** Hands each new view to the objects that follow it, on the traffic thread. */
final class CurrentView {

  private final Collaborators with;
  private final LocalUpstreams upstreams;
  private final PeerLinks links;
  private FleetView applied;
  private Optional<ContextSecret> signingSecret = Optional.empty();

  CurrentView(Collaborators with, LocalUpstreams upstreams, PeerLinks links) {
    this.with = with;
    this.upstreams = upstreams;
    this.links = links;
  }

  /** Returns the latest view after it has been applied. */
  FleetView get() {
    FleetView view = with.views().current();
    if (view != applied) {
      apply(view);
    }
    return view;
  }

  Optional<ContextSecret> signingSecret() {
    return signingSecret;
  }

  private void apply(FleetView view) {
    applied = view;
    signingSecret = view.signingSecret();
    TargetSelector selector = with.selector();
    selector.setTargets(view.targets(), System.nanoTime());
    links.follow(view);
    view.activePreset()
        .ifPresent(
            preset -> {
              with.throttles().setRatio(preset.retryRatio());
              upstreams.applyPreset(preset);
            });
  }
}
