/** Command line of the measuring tools, which are no part of the shipped programs. */
package org.cornelspoke.bench;
