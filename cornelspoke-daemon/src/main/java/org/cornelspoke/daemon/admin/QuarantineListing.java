package org.cornelspoke.daemon.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import org.cornelspoke.state.quarantine.QuarantineEntry;

/** The JSON form in which operators read the requests that have run in crashes of upstreams. */
public final class QuarantineListing {

  private QuarantineListing() {}

  /** Returns an object whose field {@code requests} lists the entries. */
  public static ObjectNode toJson(Collection<QuarantineEntry> entries) {
    ObjectNode node = JsonConverter.object();
    node.set("requests", JsonConverter.array(List.copyOf(entries), QuarantineListing::toJson));
    return node;
  }

  private static ObjectNode toJson(QuarantineEntry entry) {
    ObjectNode node =
        JsonConverter.object()
            .put("fingerprint", entry.fingerprint().value())
            .put("state", entry.state().name().toLowerCase(Locale.ROOT))
            .put("service", entry.service().value())
            .put("account", entry.request().account().value())
            .put("method", entry.request().method())
            .put("requestTarget", entry.request().requestTarget())
            .put("changedAtMillis", entry.changedAtMillis())
            .put("crashCount", entry.crashes().size());
    ArrayNode crashes = node.putArray("crashes");
    for (QuarantineEntry.Crash crash : entry.crashes()) {
      crashes
          .addObject()
          .put("process", crash.process())
          .put("daemon", crash.daemon().value())
          .put("atMillis", crash.atMillis());
    }
    entry.releasedBy().ifPresent(operator -> node.put("releasedBy", operator.value()));
    return node;
  }
}
