/** Measures how costs grow with the size of the fleet. */
package org.cornelspoke.bench.slopes;
