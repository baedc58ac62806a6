/** Command-line tool of operators over the administration API. */
package org.cornelspoke.ctl;
