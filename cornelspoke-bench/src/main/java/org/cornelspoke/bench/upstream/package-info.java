/** Stand-in upstream whose capacity and faults can be changed while it runs. */
package org.cornelspoke.bench.upstream;
