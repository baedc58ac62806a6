/** Admission control of one upstream: class priority, fair queueing and concurrency limits. */
package org.cornelspoke.coordination.admission;
