/** Pure decisions: each takes its clock and random source and does no input or output. */
package org.waxwingcourse.policy;
