package org.cornelspoke.state.config;

import java.util.Optional;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.util.Assert;

/**
 * Request of an operator to change the configuration.
 *
 * @param requestId idempotency id; a retry with the same id receives the result of the first
 *     attempt
 * @param expectedRevision revision on which the change is based; if it is not the current one, the
 *     request fails with a conflict
 * @param timestampMillis wall-clock time of the request in milliseconds since the epoch, for the
 *     audit trail only
 */
public record ChangeRequest(
    RequestId requestId,
    OperatorId operator,
    Optional<Revision> expectedRevision,
    long timestampMillis,
    ConfigChange change) {

  /** Checks that all components are present. */
  public ChangeRequest {
    Assert.notNull(requestId, "requestId");
    Assert.notNull(operator, "operator");
    Assert.notNull(expectedRevision, "expectedRevision");
    Assert.notNull(change, "change");
  }
}
