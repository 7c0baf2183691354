/** A model engine stand-in: continuous batching with a prefix cache, and faults on demand. */
package org.waxwingcourse.standin.engine;
