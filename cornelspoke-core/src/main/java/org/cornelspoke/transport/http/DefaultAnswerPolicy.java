package org.cornelspoke.transport.http;

import org.cornelspoke.protocol.call.Headers;

/** The product's own interface for upstreams: 503 with {@code Cornelspoke-Shed: 1} is a shed. */
public final class DefaultAnswerPolicy implements AnswerPolicy {

  private static final int SHED_STATUS = 503;
  private static final String SHED_HEADER = "cornelspoke-shed";
  private static final String SHED_VALUE = "1";

  @Override
  public Kind judge(Headers request, int status, Headers answer) {
    boolean shed = status == SHED_STATUS && SHED_VALUE.equals(answer.get(SHED_HEADER));
    return shed ? Kind.NOT_EXECUTED : Kind.ANSWER;
  }

  @Override
  public boolean endsWithConnection() {
    // A truncated answer would look complete.
    return false;
  }
}
