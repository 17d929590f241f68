/*
 * Copyright 2026 The lupinpaddle authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.lupinpaddle.model;

import java.util.List;
import org.lupinpaddle.core.ownership.OwnerRank;
import org.lupinpaddle.core.placement.Resources;

/**
 * The size and layout of a simulated site.
 *
 * @param services the services whose workers run jobs
 * @param halls the data halls; entries and instances are assigned to them in rotation
 * @param racks the number of racks in each hall
 * @param entryKinds the groups of entries
 * @param workers the number of instances that serve services, assigned in rotation
 * @param spares the number of instances in the spare pool
 * @param room the resources of an instance
 * @param textBytes the length of the text that a caller submits with a job
 */
record Site(
        List<String> services,
        List<String> halls,
        int racks,
        List<EntryKind> entryKinds,
        int workers,
        int spares,
        Resources room,
        int textBytes) {

    /** The site of the seeded histories; small, so that thousands of them can run. */
    static final Site SMALL = new Site(
            List.of("clips", "archive"),
            List.of("north", "south", "west"),
            2,
            List.of(new EntryKind(4, OwnerRank.DEFAULT_CAPACITY, Link.UNLIMITED)),
            8,
            4,
            new Resources(8_000, 16_000, 0),
            0);

    /** Returns a site with 247 instances in four halls, with the given job text length and entry link bandwidth. */
    static Site large(int textBytes, long linkBytesPerMilli) {
        return new Site(
                List.of("news", "archive", "promo", "partner"),
                List.of("north", "south", "west", "east"),
                5,
                List.of(new EntryKind(37, OwnerRank.DEFAULT_CAPACITY, linkBytesPerMilli)),
                207,
                40,
                new Resources(16_000, 32_000, 0),
                textBytes);
    }

    /**
     * Returns a site with 306 instances in six halls and two kinds of entries: 18 with 0.75 fast cores, which count as
     * 1.5, at 200 Mbit/s, and 29 with 0.36 cores at 20 Mbit/s.
     */
    static Site withTwoEntryKinds(int textBytes) {
        return new Site(
                List.of("news", "archive", "promo", "partner"),
                List.of("north", "south", "west", "east", "harbour", "airport"),
                3,
                List.of(new EntryKind(18, 1_500, 25_000), new EntryKind(29, 360, 2_500)),
                264,
                42,
                new Resources(16_000, 64_000, 0),
                textBytes);
    }

    /** Returns a site with a single service of 250 workers and few entries, which have the given link bandwidth. */
    static Site oneLargeService(int textBytes, long linkBytesPerMilli) {
        return new Site(
                List.of("news"),
                List.of("north", "south", "west", "east"),
                5,
                List.of(new EntryKind(9, OwnerRank.DEFAULT_CAPACITY, linkBytesPerMilli)),
                250,
                10,
                new Resources(16_000, 64_000, 0),
                textBytes);
    }
}
