/** What a load run is to do: plans from TOML, seeded arrivals and prompts. */
package org.waxwingcourse.load.plan;
