package org.cornelspoke.state.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.OperatorId;

/** Validates changes against the entities of the current revision and plans their effect. */
final class ChangePlanner {

  private static final Pattern SHA256_HEX = Pattern.compile("[0-9a-f]{64}");
  private static final int MAX_CONTEXT_SECRETS = 2;
  private static final List<EntityKind> REPLACED_KINDS =
      List.of(
          EntityKind.ACCOUNT, EntityKind.CLIENT_KEY, EntityKind.ROUTE, EntityKind.SERVICE_POLICY);

  private final EntityStore entities;

  ChangePlanner(EntityStore entities) {
    this.entities = entities;
  }

  ChangePlan plan(ChangeRequest request) {
    OperatorId operator = request.operator();
    ChangePlan plan = plan(request.change(), request.timestampMillis());
    EntityId operatorEntity = new EntityId(EntityKind.OPERATOR, operator.value());
    // While no operator exists, any operator id is accepted, so that the first operator can be
    // created. Afterwards, a change in flight when its operator was deleted must be rejected.
    if (!operators().isEmpty() && !exists(operatorEntity)) {
      return ChangePlan.rejected(plan.entity(), "operator " + operator + " does not exist");
    }
    return plan;
  }

  private ChangePlan plan(ConfigChange change, long timestampMillis) {
    if (change instanceof ConfigChange.CreateAccount create) {
      EntityId id = create.account().entityId();
      return exists(id)
          ? ChangePlan.rejected(id, "the account exists already")
          : ChangePlan.put(create.account());
    }
    if (change instanceof ConfigChange.SetAccount set) {
      EntityId id = set.account().entityId();
      return exists(id) ? ChangePlan.put(set.account()) : rejectMissing(id);
    }
    if (change instanceof ConfigChange.DeleteAccount delete) {
      return deleteAccount(delete.account());
    }
    if (change instanceof ConfigChange.GiveKey give) {
      return giveKey(give.key());
    }
    if (change instanceof ConfigChange.WithdrawKey withdraw) {
      return removeExisting(new EntityId(EntityKind.CLIENT_KEY, withdraw.key().value()));
    }
    if (change instanceof ConfigChange.SetRoute set) {
      return ChangePlan.put(set.route());
    }
    if (change instanceof ConfigChange.DeleteRoute delete) {
      return removeExisting(new EntityId(EntityKind.ROUTE, delete.route().value()));
    }
    if (change instanceof ConfigChange.SetPreset set) {
      return ChangePlan.put(set.preset());
    }
    if (change instanceof ConfigChange.UsePreset use) {
      EntityId preset = new EntityId(EntityKind.PRESET, use.preset().value());
      return exists(preset)
          ? ChangePlan.put(new ActivePreset(use.preset()))
          : ChangePlan.rejected(ActivePreset.ID, "preset " + use.preset() + " does not exist");
    }
    if (change instanceof ConfigChange.SetOperator set) {
      return setOperator(set.operator());
    }
    if (change instanceof ConfigChange.DeleteOperator delete) {
      return deleteOperator(delete.operator());
    }
    if (change instanceof ConfigChange.ReplaceRouting replace) {
      return replaceRouting(replace);
    }
    if (change instanceof ConfigChange.EvacuateDataCentre evacuate) {
      EntityId id = DataCentreEvacuation.idOf(evacuate.dataCentre());
      return exists(id)
          ? ChangePlan.unchanged(id)
          : ChangePlan.put(new DataCentreEvacuation(evacuate.dataCentre(), timestampMillis));
    }
    if (change instanceof ConfigChange.RestoreDataCentre restore) {
      EntityId id = DataCentreEvacuation.idOf(restore.dataCentre());
      return exists(id) ? ChangePlan.remove(id, List.of(id)) : ChangePlan.unchanged(id);
    }
    return rotateSecret(((ConfigChange.RotateContextSecret) change).secretHex());
  }

  private ChangePlan deleteAccount(AccountId account) {
    EntityId id = new EntityId(EntityKind.ACCOUNT, account.value());
    if (!exists(id)) {
      return rejectMissing(id);
    }
    List<EntityId> removed = new ArrayList<>(List.of(id));
    for (ConfigEntity key : entities.live(EntityKind.CLIENT_KEY)) {
      if (((ClientKey) key).account().equals(account)) {
        removed.add(key.entityId());
      }
    }
    return ChangePlan.remove(id, removed);
  }

  private ChangePlan giveKey(ClientKey key) {
    EntityId id = key.entityId();
    if (!exists(new EntityId(EntityKind.ACCOUNT, key.account().value()))) {
      return ChangePlan.rejected(id, "account " + key.account() + " does not exist");
    }
    if (exists(id)) {
      return ChangePlan.rejected(id, "the key id is taken");
    }
    if (!SHA256_HEX.matcher(key.keyHashHex()).matches()) {
      return ChangePlan.rejected(id, "keyHashHex must have 64 lower-case hexadecimal digits");
    }
    // Two keys with the same hash would make the account of a request ambiguous (I3).
    return entities.hasKeyHash(key.keyHashHex())
        ? ChangePlan.rejected(id, "the key is in use under another key id")
        : ChangePlan.put(key);
  }

  /** Plans a routing replacement; unchanged entities keep their revision to keep deltas small. */
  private ChangePlan replaceRouting(ConfigChange.ReplaceRouting replace) {
    long current =
        entities
            .get(RoutingDocument.ID)
            .map(entity -> ((RoutingDocument) entity).version())
            .orElse(0L);
    if (replace.baseVersion() != current) {
      return ChangePlan.conflict(RoutingDocument.ID, "version " + current + " is in force");
    }
    if (replace.document().version() <= current) {
      return ChangePlan.rejected(RoutingDocument.ID, "the version must be above " + current);
    }
    Map<EntityId, ConfigEntity> desired = new LinkedHashMap<>();
    replace.accounts().forEach(account -> desired.put(account.entityId(), account));
    replace.keys().forEach(key -> desired.put(key.entityId(), key));
    replace.routes().forEach(route -> desired.put(route.entityId(), route));
    replace.servicePolicies().forEach(policy -> desired.put(policy.entityId(), policy));
    List<EntityId> removed = new ArrayList<>();
    for (EntityKind kind : REPLACED_KINDS) {
      for (ConfigEntity existing : entities.live(kind)) {
        if (!desired.containsKey(existing.entityId())) {
          removed.add(existing.entityId());
        }
      }
    }
    List<ConfigEntity> put = new ArrayList<>(List.of(replace.document()));
    desired.forEach(
        (id, entity) -> {
          if (!entities.get(id).equals(Optional.of(entity))) {
            put.add(entity);
          }
        });
    return new ChangePlan(RoutingDocument.ID, put, removed, Optional.empty());
  }

  private ChangePlan setOperator(Operator operator) {
    return SHA256_HEX.matcher(operator.tokenHashHex()).matches()
        ? ChangePlan.put(operator)
        : ChangePlan.rejected(
            operator.entityId(), "tokenHashHex must have 64 lower-case hexadecimal digits");
  }

  private ChangePlan deleteOperator(OperatorId operator) {
    EntityId id = new EntityId(EntityKind.OPERATOR, operator.value());
    if (exists(id) && operators().size() == 1) {
      return ChangePlan.rejected(id, "the last operator must stay");
    }
    return removeExisting(id);
  }

  private ChangePlan rotateSecret(String secretHex) {
    List<ContextSecret> secrets =
        entities.live(EntityKind.CONTEXT_SECRET).stream()
            .map(ContextSecret.class::cast)
            .sorted(Comparator.comparingInt(ContextSecret::number))
            .toList();
    int number = secrets.isEmpty() ? 1 : secrets.get(secrets.size() - 1).number() + 1;
    EntityId id = new EntityId(EntityKind.CONTEXT_SECRET, Integer.toString(number));
    if (secretHex == null || !SHA256_HEX.matcher(secretHex).matches()) {
      return ChangePlan.rejected(id, "secretHex must have 64 lower-case hexadecimal digits");
    }
    List<EntityId> removed =
        secrets.subList(0, Math.max(0, secrets.size() + 1 - MAX_CONTEXT_SECRETS)).stream()
            .map(ContextSecret::entityId)
            .toList();
    return new ChangePlan(
        id, List.of(new ContextSecret(number, secretHex)), removed, Optional.empty());
  }

  private List<ConfigEntity> operators() {
    return entities.live(EntityKind.OPERATOR);
  }

  private ChangePlan removeExisting(EntityId id) {
    return exists(id) ? ChangePlan.remove(id, List.of(id)) : rejectMissing(id);
  }

  private static ChangePlan rejectMissing(EntityId id) {
    return ChangePlan.rejected(id, id + " does not exist");
  }

  private boolean exists(EntityId id) {
    return entities.get(id).isPresent();
  }
}
