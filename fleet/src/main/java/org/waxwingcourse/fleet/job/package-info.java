/**
 * Jobs of many items: accepted once into the store, run by one host at a time, each item with
 * exactly one result whose position never changes.
 */
package org.waxwingcourse.fleet.job;
