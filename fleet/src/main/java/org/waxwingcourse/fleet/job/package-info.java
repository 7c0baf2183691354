/**
 * Jobs of many items. A job is accepted once into the store and run by one host at a time. Each
 * item gets exactly one result, whose position never changes.
 */
package org.waxwingcourse.fleet.job;
