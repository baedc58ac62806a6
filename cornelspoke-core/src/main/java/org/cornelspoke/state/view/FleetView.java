package org.cornelspoke.state.view;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.PresetName;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.state.config.Account;
import org.cornelspoke.state.config.ActivePreset;
import org.cornelspoke.state.config.ClientKey;
import org.cornelspoke.state.config.ConfigEntity;
import org.cornelspoke.state.config.ContextSecret;
import org.cornelspoke.state.config.DataCentreEvacuation;
import org.cornelspoke.state.config.Preset;
import org.cornelspoke.state.config.Route;
import org.cornelspoke.state.config.ServicePolicy;
import org.cornelspoke.state.config.WeightedService;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.util.Assert;

/**
 * A traffic daemon's immutable view of the configuration and the targets at one revision. A request
 * uses the view that is current on its arrival until it ends, so that one preset applies
 * throughout.
 *
 * <p>Thread-safe.
 */
public final class FleetView {

  /** View of a daemon that has not yet received a configuration. */
  public static final FleetView EMPTY = new FleetView(Revision.NONE, List.of(), Map.of());

  private final Revision revision;
  private final Map<AccountId, Account> accounts = new HashMap<>();
  private final Map<String, ClientKey> keysByHash = new HashMap<>();
  private final List<Route> routes = new ArrayList<>();
  private final Map<PresetName, Preset> presets = new HashMap<>();
  private final Map<Integer, ContextSecret> contextSecrets = new HashMap<>();
  private final Map<ServiceName, ServicePolicy> servicePolicies = new HashMap<>();
  private final Set<DataCentreId> evacuatedDataCentres = new HashSet<>();
  private final Map<ServiceName, List<Target>> targets;
  private PresetName activePreset;

  /**
   * Creates a view.
   *
   * @param revision configuration revision of the entities
   * @param entities all live entities that are sent to traffic daemons
   * @param targets registered targets of each service that the daemon calls
   */
  public FleetView(
      Revision revision,
      Collection<? extends ConfigEntity> entities,
      Map<ServiceName, List<Target>> targets) {
    this.revision = Assert.notNull(revision, "revision");
    this.targets = Map.copyOf(targets);
    entities.forEach(this::add);
    routes.sort(
        Comparator.comparingInt((Route route) -> route.pathPrefix().length())
            .reversed()
            .thenComparing(route -> route.method().equals(Route.ANY_METHOD))
            .thenComparing(route -> route.id().value()));
  }

  /** Returns the configuration revision of this view. */
  public Revision revision() {
    return revision;
  }

  /**
   * Returns the route of a request, or empty if none matches.
   *
   * @param host host of the request, in lower case without a port
   * @param path the path without its query
   */
  public Optional<Route> route(String host, String method, String path) {
    for (Route route : routes) {
      if (route.matches(host, method, path)) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the account of a key.
   *
   * @param keyHashHex SHA-256 hash of the presented key in lower-case hexadecimal; a lookup by hash
   *     does not leak the key through timing
   */
  public Optional<Account> accountOfKey(String keyHashHex) {
    ClientKey key = keysByHash.get(keyHashHex);
    return key == null ? Optional.empty() : account(key.account());
  }

  /** Returns the account, or empty if it does not exist. */
  public Optional<Account> account(AccountId id) {
    return Optional.ofNullable(accounts.get(id));
  }

  /** Returns all accounts. */
  public Collection<Account> accounts() {
    return List.copyOf(accounts.values());
  }

  /** Returns the active preset, or empty before the first configuration has been received. */
  public Optional<Preset> activePreset() {
    return activePreset == null ? Optional.empty() : Optional.ofNullable(presets.get(activePreset));
  }

  /** Returns the secret that signs new call contexts, which has the highest number. */
  public Optional<ContextSecret> signingSecret() {
    return contextSecrets.values().stream().max(Comparator.comparingInt(ContextSecret::number));
  }

  /** Returns the secret with the given number, for verifying a call context. */
  public Optional<ContextSecret> contextSecret(int number) {
    return Optional.ofNullable(contextSecrets.get(number));
  }

  /** Returns the policy of a service, or empty if it has none. */
  public Optional<ServicePolicy> servicePolicy(ServiceName service) {
    return Optional.ofNullable(servicePolicies.get(service));
  }

  /** Returns the known targets of a service, in no particular order. */
  public List<Target> targets(ServiceName service) {
    return targets.getOrDefault(service, List.of());
  }

  /** Returns the known targets of every service. */
  public Map<ServiceName, List<Target>> targets() {
    return targets;
  }

  /** Returns true if no requests may be sent to the upstreams in the data centre. */
  public boolean isEvacuated(DataCentreId dataCentre) {
    return evacuatedDataCentres.contains(dataCentre);
  }

  /**
   * Returns the targets to which requests may be sent: those outside evacuated data centres. A
   * service without any such target has an empty list.
   */
  public Map<ServiceName, List<Target>> usableTargets() {
    if (evacuatedDataCentres.isEmpty()) {
      return targets;
    }
    Map<ServiceName, List<Target>> usable = new HashMap<>();
    targets.forEach(
        (service, known) ->
            usable.put(
                service,
                known.stream().filter(target -> !isEvacuated(target.dataCentre())).toList()));
    return usable;
  }

  /** Returns true if any route exists; without routes no request can be served or refused. */
  public boolean hasRoutes() {
    return !routes.isEmpty();
  }

  /** Returns the distinct services of all routes. */
  public List<ServiceName> routedServices() {
    return routes.stream()
        .flatMap(route -> route.services().stream())
        .map(WeightedService::service)
        .distinct()
        .toList();
  }

  private void add(ConfigEntity entity) {
    if (entity instanceof Account account) {
      accounts.put(account.id(), account);
    } else if (entity instanceof ClientKey key) {
      keysByHash.put(key.keyHashHex(), key);
    } else if (entity instanceof Route route) {
      routes.add(route);
    } else if (entity instanceof Preset preset) {
      presets.put(preset.name(), preset);
    } else if (entity instanceof ActivePreset active) {
      activePreset = active.name();
    } else if (entity instanceof ContextSecret secret) {
      contextSecrets.put(secret.number(), secret);
    } else if (entity instanceof ServicePolicy policy) {
      servicePolicies.put(policy.service(), policy);
    } else if (entity instanceof DataCentreEvacuation evacuation) {
      evacuatedDataCentres.add(evacuation.dataCentre());
    }
  }
}
