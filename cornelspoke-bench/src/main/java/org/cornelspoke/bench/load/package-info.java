/** Open-loop load generator that checks every answer and counts goodput and refusals. */
package org.cornelspoke.bench.load;
