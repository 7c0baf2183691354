/** Connects the policies of configuration, keys and rates to the store and to the other hosts. */
package org.waxwingcourse.node.agree;
