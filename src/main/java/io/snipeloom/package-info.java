/** Snipeloom, a router fleet for language-model traffic paid from prepaid token budgets. */
package io.snipeloom;
