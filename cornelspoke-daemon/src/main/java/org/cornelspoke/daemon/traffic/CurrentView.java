package org.cornelspoke.daemon.traffic;

import java.util.List;
import java.util.Optional;
import org.cornelspoke.coordination.routing.TargetSelector;
import org.cornelspoke.model.Revision;
import org.cornelspoke.state.config.ContextSecret;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.state.view.FleetView;

/**
 * Provides the current fleet view and applies each new view to the components that depend on it.
 * Confined to the reactor thread.
 */
final class CurrentView {

  private final Collaborators collaborators;
  private final LocalUpstreams upstreams;
  private final PeerLinks links;
  private FleetView applied;
  private Optional<ContextSecret> signingSecret = Optional.empty();

  CurrentView(Collaborators collaborators, LocalUpstreams upstreams, PeerLinks links) {
    this.collaborators = collaborators;
    this.upstreams = upstreams;
    this.links = links;
  }

  /** Returns the latest view, applying it first if it is new. */
  FleetView get() {
    FleetView view = collaborators.views().current();
    if (view != applied) {
      apply(view);
    }
    return view;
  }

  /** Returns true once a configuration has been received, which states what is evacuated. */
  boolean isKnown() {
    return !get().revision().equals(Revision.NONE);
  }

  Optional<ContextSecret> signingSecret() {
    return signingSecret;
  }

  private static int daemonCount(FleetView view) {
    return (int)
        view.targets().values().stream()
            .flatMap(List::stream)
            .map(Target::daemon)
            .distinct()
            .count();
  }

  private void apply(FleetView view) {
    applied = view;
    signingSecret = view.signingSecret();
    TargetSelector selector = collaborators.selector();
    selector.setTargets(view.usableTargets(), System.nanoTime());
    if (view.revision().isAfter(Revision.NONE)) {
      upstreams.applyServicePolicies(view);
    }
    upstreams.setEvacuated(
        view.isEvacuated(collaborators.settings().dataCentre()), System.nanoTime());
    // Links to evacuated data centres stay open for the requests that run there.
    links.applyView(view);
    collaborators.throttles().setDaemonCount(daemonCount(view));
    view.activePreset()
        .ifPresent(
            preset -> {
              collaborators.throttles().setRatio(preset.retryRatio());
              upstreams.applyPreset(preset);
            });
  }
}
