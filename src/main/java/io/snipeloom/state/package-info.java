/** Decision state: values, records and the pure functions that derive every shared decision. */
package io.snipeloom.state;
