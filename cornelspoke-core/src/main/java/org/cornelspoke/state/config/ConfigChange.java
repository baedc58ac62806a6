package org.cornelspoke.state.config;

import java.util.List;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.KeyId;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.PresetName;
import org.cornelspoke.model.RouteId;

/** A change that an operator asks for. */
public sealed interface ConfigChange {

  /** Creates an account; rejected if it exists. */
  record CreateAccount(Account account) implements ConfigChange {}

  /** Replaces an account; rejected if it does not exist. */
  record SetAccount(Account account) implements ConfigChange {}

  /** Deletes an account and withdraws its keys; rejected if it does not exist. */
  record DeleteAccount(AccountId account) implements ConfigChange {}

  /** Gives a key to an account; rejected if the account does not exist or the key id is taken. */
  record GiveKey(ClientKey key) implements ConfigChange {}

  /** Withdraws a key; rejected if it does not exist. */
  record WithdrawKey(KeyId key) implements ConfigChange {}

  /** Creates or replaces a route. */
  record SetRoute(Route route) implements ConfigChange {}

  /** Deletes a route; rejected if it does not exist. */
  record DeleteRoute(RouteId route) implements ConfigChange {}

  /** Creates or replaces a preset. */
  record SetPreset(Preset preset) implements ConfigChange {}

  /** Puts a preset in force; rejected if it does not exist. */
  record UsePreset(PresetName preset) implements ConfigChange {}

  /** Creates or replaces an operator. */
  record SetOperator(Operator operator) implements ConfigChange {}

  /** Deletes an operator; rejected for the last one. */
  record DeleteOperator(OperatorId operator) implements ConfigChange {}

  /** Adds a context secret with the next number and drops all but the newest two. */
  record RotateContextSecret(String secretHex) implements ConfigChange {}

  /**
   * Replaces all routes, accounts and keys together.
   *
   * @param baseVersion version of the document that the change builds on, 0 if there is none; the
   *     change conflicts with every other one
   * @param document the text that is kept; its version must be above the present one
   */
  record ReplaceRouting(
      long baseVersion,
      RoutingDocument document,
      List<Route> routes,
      List<Account> accounts,
      List<ClientKey> keys)
      implements ConfigChange {

    /** Copies the lists. */
    public ReplaceRouting {
      routes = List.copyOf(routes);
      accounts = List.copyOf(accounts);
      keys = List.copyOf(keys);
    }
  }
}
