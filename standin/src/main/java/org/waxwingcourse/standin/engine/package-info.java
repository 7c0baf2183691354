/** A model engine stand-in with continuous batching, a prefix cache and injectable faults. */
package org.waxwingcourse.standin.engine;
