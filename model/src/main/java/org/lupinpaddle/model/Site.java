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
import org.lupinpaddle.core.placement.Room;

/**
 * What a world consists of.
 *
 * @param services the services whose workers run jobs
 * @param halls where entries and machines stand, by turns
 * @param racks how many racks a hall has
 * @param entries how many entries there are
 * @param workers how many machines work for services, by turns
 * @param spares how many machines are off
 * @param room what a machine has
 * @param textBytes how long the text is that a caller gives with a job
 * @param linkBytesPerMilli what each entry's link to the store carries, either way
 */
record Site(
        List<String> services,
        List<String> halls,
        int racks,
        int entries,
        int workers,
        int spares,
        Room room,
        int textBytes,
        long linkBytesPerMilli) {

    /** The site of the seeded histories: small, so that thousands of them can be run. */
    static final Site SMALL = new Site(
            List.of("clips", "archive"),
            List.of("north", "south", "west"),
            2,
            4,
            8,
            4,
            new Room(8_000, 16_000, 0),
            0,
            Link.UNLIMITED);

    /** Returns a site as large as the largest that the product is made for, with texts of this length and this rate of the
     * entries' links. */
    static Site large(int textBytes, long linkBytesPerMilli) {
        return new Site(
                List.of("news", "archive", "promo", "partner"),
                List.of("north", "south", "west", "east"),
                5,
                37,
                207,
                40,
                new Room(16_000, 32_000, 0),
                textBytes,
                linkBytesPerMilli);
    }
}
