/** Command-line tool for operators, a client of the administration API. */
package org.cornelspoke.ctl;
