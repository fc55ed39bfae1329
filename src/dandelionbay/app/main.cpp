#include <iostream>

int main() {
    std::cerr << "usage: dandelionbay COMMAND [--help]\n";
    return 2;
}
