/** Load plans in TOML, with arrivals and prompts generated from a seed. */
package org.waxwingcourse.load.plan;
