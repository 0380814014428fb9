/**
 * Translates between Snipeloom and the users' platform: headers, configuration, replica entries and
 * the calls of the store.
 *
 * <p>Nothing here decides, keeps state beyond a call, or recovers; nothing outside knows the names
 * on the platform's wire.
 */
package io.snipeloom.platform;
