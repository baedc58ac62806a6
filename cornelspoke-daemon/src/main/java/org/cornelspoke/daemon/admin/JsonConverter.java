package org.cornelspoke.daemon.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Function;
import org.cornelspoke.daemon.admin.AttachedDaemons.DaemonStatus;
import org.cornelspoke.daemon.admin.ConfigListing.VersionedEntity;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.config.Account;
import org.cornelspoke.state.config.ActivePreset;
import org.cornelspoke.state.config.AuditEntry;
import org.cornelspoke.state.config.ClassPolicy;
import org.cornelspoke.state.config.ClientKey;
import org.cornelspoke.state.config.ConfigEntity;
import org.cornelspoke.state.config.ContextSecret;
import org.cornelspoke.state.config.DataCentreEvacuation;
import org.cornelspoke.state.config.Operator;
import org.cornelspoke.state.config.Preset;
import org.cornelspoke.state.config.Route;
import org.cornelspoke.state.registry.Target;

/** Converts values to JSON. Context secrets and the token hashes of operators are omitted. */
final class JsonConverter {

  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private JsonConverter() {}

  static ObjectNode object() {
    return NODES.objectNode();
  }

  static <T> ArrayNode array(Collection<T> items, Function<T, ObjectNode> converter) {
    ArrayNode array = NODES.arrayNode(items.size());
    items.forEach(item -> array.add(converter.apply(item)));
    return array;
  }

  static ArrayNode vmIds(Collection<VmId> ids) {
    ArrayNode array = NODES.arrayNode(ids.size());
    ids.forEach(id -> array.add(id.value()));
    return array;
  }

  static ObjectNode entity(VersionedEntity versioned) {
    return entity(versioned.entity()).put("revision", versioned.revision().number());
  }

  static ObjectNode auditEntry(AuditEntry entry) {
    return object()
        .put("sequence", entry.sequence())
        .put("timestampMillis", entry.timestampMillis())
        .put("operator", entry.operator().value())
        .put("requestId", entry.requestId().value())
        .put("revision", entry.revision().number())
        .put("outcome", entry.outcome())
        .put("action", entry.action())
        .put("entity", entry.entity().toString())
        .put("before", entry.before())
        .put("after", entry.after());
  }

  static ObjectNode target(Target target) {
    return object()
        .put("id", target.id().value())
        .put("service", target.service().value())
        .put("daemon", target.daemon().value())
        .put("dataCentre", target.dataCentre().value())
        .put("linkEndpoint", target.linkEndpoint().toString())
        .put("slots", target.slots())
        .put("state", target.state().name());
  }

  static ObjectNode daemon(DaemonStatus daemon) {
    return object()
        .put("id", daemon.id().value())
        .put("dataCentre", daemon.dataCentre().value())
        .put("appliedRevision", daemon.appliedRevision().number())
        .put("freshnessAgeMillis", daemon.freshnessAgeMillis())
        .put("relay", daemon.relay().value());
  }

  static ObjectNode groupStatus(GroupStatus status) {
    ObjectNode node =
        object()
            .put("answeredBy", status.answeredBy().value())
            .put("leader", valueOrNull(status.leader().map(VmId::value)))
            .put("quorumConfirmed", status.quorumConfirmed())
            .put("term", status.term())
            .put("appliedIndex", status.appliedIndex())
            .put("appliedRevision", status.appliedRevision().number())
            .put("presetInForce", valueOrNull(status.presetInForce().map(name -> name.value())))
            .put("storageFailure", valueOrNull(status.storageFailure()));
    node.set("members", array(status.members(), JsonConverter::member));
    return node;
  }

  private static ObjectNode member(GroupStatus.Member member) {
    return object()
        .put("vmId", member.vmId().value())
        .put("identity", member.identity())
        .put("role", member.role().name())
        .put("peerAddress", member.peerAddress().toString())
        .put("matchIndex", member.matchIndex());
  }

  private static ObjectNode entity(ConfigEntity entity) {
    if (entity instanceof Account account) {
      return object()
          .put("id", account.id().value())
          .put("rateTokensPerSecond", account.rateTokensPerSecond())
          .put("burstTokens", account.burstTokens())
          .put("weight", account.weight());
    } else if (entity instanceof ClientKey key) {
      return object()
          .put("id", key.id().value())
          .put("account", key.account().value())
          .put("keyHashHex", key.keyHashHex());
    } else if (entity instanceof Route route) {
      return route(route);
    } else if (entity instanceof Preset preset) {
      return preset(preset);
    } else if (entity instanceof ActivePreset active) {
      return object().put("name", active.name().value());
    } else if (entity instanceof ContextSecret secret) {
      return object().put("number", secret.number());
    } else if (entity instanceof Operator operator) {
      return object().put("id", operator.id().value());
    } else if (entity instanceof DataCentreEvacuation evacuation) {
      return object()
          .put("dataCentre", evacuation.dataCentre().value())
          .put("startedAtMillis", evacuation.startedAtMillis());
    }
    throw new IllegalStateException("no JSON conversion for " + entity.entityId());
  }

  private static ObjectNode route(Route route) {
    return object()
        .put("id", route.id().value())
        .put("method", route.method())
        .put("pathPrefix", route.pathPrefix())
        .put("service", route.service().value())
        .put("trafficClass", route.trafficClass().name())
        .put("open", route.open())
        .put("repeatable", route.repeatable())
        .put("timeoutMillis", route.timeoutMillis());
  }

  private static ObjectNode preset(Preset preset) {
    ObjectNode classes = object();
    for (TrafficClass trafficClass : TrafficClass.values()) {
      ClassPolicy policy = preset.policyOf(trafficClass);
      classes.set(
          trafficClass.name(),
          object()
              .put("slotShare", policy.slotShare())
              .put("queueLimit", policy.queueLimit())
              .put("queueTimeoutMillis", policy.queueTimeoutMillis())
              .put("refused", policy.refused()));
    }
    ObjectNode node =
        object()
            .put("name", preset.name().value())
            .put("retryBudget", preset.retryBudget())
            .put("retryRatio", preset.retryRatio())
            .put("newestFirstAfterMillis", preset.newestFirstAfterMillis());
    node.set("classes", classes);
    return node;
  }

  private static String valueOrNull(Optional<String> value) {
    return value.orElse(null);
  }
}
