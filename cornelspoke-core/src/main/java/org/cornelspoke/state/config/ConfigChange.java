package org.cornelspoke.state.config;

import java.util.List;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.KeyId;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.PresetName;
import org.cornelspoke.model.RouteId;

/** A configuration change requested by an operator. */
public sealed interface ConfigChange {

  /** Creates an account; rejected if the account already exists. */
  record CreateAccount(Account account) implements ConfigChange {}

  /** Replaces an account; rejected if the account does not exist. */
  record SetAccount(Account account) implements ConfigChange {}

  /** Deletes an account and its keys; rejected if the account does not exist. */
  record DeleteAccount(AccountId account) implements ConfigChange {}

  /**
   * Adds a key to an account; rejected if the account does not exist or if the key id or the key
   * hash is already in use.
   */
  record GiveKey(ClientKey key) implements ConfigChange {}

  /** Deletes a key; rejected if the key does not exist. */
  record WithdrawKey(KeyId key) implements ConfigChange {}

  /** Creates or replaces a route. */
  record SetRoute(Route route) implements ConfigChange {}

  /** Deletes a route; rejected if the route does not exist. */
  record DeleteRoute(RouteId route) implements ConfigChange {}

  /** Creates or replaces a preset. */
  record SetPreset(Preset preset) implements ConfigChange {}

  /** Activates a preset; rejected if the preset does not exist. */
  record UsePreset(PresetName preset) implements ConfigChange {}

  /** Creates or replaces an operator. */
  record SetOperator(Operator operator) implements ConfigChange {}

  /** Deletes an operator; rejected for the last operator. */
  record DeleteOperator(OperatorId operator) implements ConfigChange {}

  /** Adds a context secret with the next number and removes all but the two newest. */
  record RotateContextSecret(String secretHex) implements ConfigChange {}

  /**
   * Evacuates a data centre. Accepted without an effect on the entities if it is evacuated already,
   * so that an order can be resent.
   */
  record EvacuateDataCentre(DataCentreId dataCentre) implements ConfigChange {}

  /**
   * Ends the evacuation of a data centre. Accepted without an effect on the entities if it isn't
   * evacuated.
   */
  record RestoreDataCentre(DataCentreId dataCentre) implements ConfigChange {}

  /**
   * Replaces all routes, accounts, keys and service policies atomically.
   *
   * @param baseVersion version of the document on which the change is based, 0 if there is none;
   *     the change conflicts if another version is current
   * @param document the source document; its version must be above the current one
   */
  record ReplaceRouting(
      long baseVersion,
      RoutingDocument document,
      List<Route> routes,
      List<Account> accounts,
      List<ClientKey> keys,
      List<ServicePolicy> servicePolicies)
      implements ConfigChange {

    /** Copies the lists. */
    public ReplaceRouting {
      routes = List.copyOf(routes);
      accounts = List.copyOf(accounts);
      keys = List.copyOf(keys);
      servicePolicies = List.copyOf(servicePolicies);
    }

    /** Creates a change without service policies. */
    public ReplaceRouting(
        long baseVersion,
        RoutingDocument document,
        List<Route> routes,
        List<Account> accounts,
        List<ClientKey> keys) {
      this(baseVersion, document, routes, accounts, keys, List.of());
    }
  }
}
