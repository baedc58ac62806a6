package org.cornelspoke.state.config;

import java.util.Optional;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.util.Assert;

/**
 * A change together with who asks for it.
 *
 * @param requestId a resend with the same id gets the first answer
 * @param expectedRevision the revision that the change was based on; the change is refused with a
 *     conflict if another one is current
 * @param timestampMillis wall-clock time of the request in milliseconds since the epoch, for the
 *     audit trail only
 */
public record ChangeRequest(
    RequestId requestId,
    OperatorId operator,
    Optional<Revision> expectedRevision,
    long timestampMillis,
    ConfigChange change) {

  /** Checks that every part is present. */
  public ChangeRequest {
    Assert.notNull(requestId, "requestId");
    Assert.notNull(operator, "operator");
    Assert.notNull(expectedRevision, "expectedRevision");
    Assert.notNull(change, "change");
  }
}
