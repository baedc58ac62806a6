package org.cornelspoke.bench.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.cornelspoke.util.Assert;

/**
 * How a stand-in upstream serves requests.
 *
 * @param slots requests that run at once
 * @param queueLimit requests that may wait for a slot; the others are shed
 * @param serviceMillis mean service time
 * @param serviceSigma sigma of the lognormal service time; 0 makes it constant
 * @param coldStartMillis length of the cold start ramp
 * @param coldStartFactor service time at the start of the ramp relative to the end
 * @param shedProbability part of the requests that are shed without cause
 * @param dropProbability part of the requests that run and get no answer
 * @param truncateProbability part of the answers that end in the middle
 * @param surplusProbability part of the answers that are followed by bytes that belong to none
 * @param delayMillis time without work that is added to each request
 * @param healthStatus status of {@code /health}, true or not
 * @param reportedLoad answer of {@code /load}; below 0 the true number of requests
 * @param bodyBytes size of an answer
 * @param stopWhenCancelled true if work stops when the connection closes
 * @param stopAtDeadline true if work stops at the deadline of the request
 * @param nestedCalls calls to make before the answer, one after another
 */
public record UpstreamBehaviour(
    int slots,
    int queueLimit,
    double serviceMillis,
    double serviceSigma,
    long coldStartMillis,
    double coldStartFactor,
    double shedProbability,
    double dropProbability,
    double truncateProbability,
    double surplusProbability,
    long delayMillis,
    int healthStatus,
    double reportedLoad,
    int bodyBytes,
    boolean stopWhenCancelled,
    boolean stopAtDeadline,
    List<NestedCall> nestedCalls) {

  /** 100 slots, 5 ms, no fault. */
  public static final UpstreamBehaviour DEFAULT =
      new UpstreamBehaviour(
          100, 10_000, 5, 0.3, 0, 1, 0, 0, 0, 0, 0, 200, -1, 256, true, true, List.of());

  private static final ObjectMapper MAPPER =
      JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  /** Checks the ranges. */
  public UpstreamBehaviour {
    Assert.isTrue(slots >= 1, "slots must be 1 or more");
    Assert.isTrue(queueLimit >= 0, "queueLimit must be 0 or more");
    Assert.notNegative(serviceMillis, "serviceMillis");
    Assert.notNegative(serviceSigma, "serviceSigma");
    Assert.isTrue(coldStartMillis >= 0, "coldStartMillis must be 0 or more");
    Assert.isTrue(coldStartFactor >= 1, "coldStartFactor must be 1 or more");
    checkProbability(shedProbability, "shedProbability");
    checkProbability(dropProbability, "dropProbability");
    checkProbability(truncateProbability, "truncateProbability");
    checkProbability(surplusProbability, "surplusProbability");
    Assert.isTrue(delayMillis >= 0, "delayMillis must be 0 or more");
    Assert.isTrue(bodyBytes >= 0, "bodyBytes must be 0 or more");
    nestedCalls = List.copyOf(nestedCalls);
  }

  /**
   * Returns this behaviour with the fields that the JSON object names changed.
   *
   * @throws IllegalArgumentException if a field is unknown or out of its range
   */
  public UpstreamBehaviour with(JsonNode changes) {
    Assert.isTrue(changes != null && changes.isObject(), "the change must be a JSON object");
    ObjectNode merged = MAPPER.valueToTree(this);
    merged.setAll((ObjectNode) changes);
    try {
      return MAPPER.treeToValue(merged, UpstreamBehaviour.class);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e.getOriginalMessage(), e);
    }
  }

  private static void checkProbability(double value, String name) {
    Assert.isTrue(value >= 0 && value <= 1, name + " must be between 0 and 1");
  }
}
